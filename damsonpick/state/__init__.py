"""State of the control service: endpoint list, load reports, published tables, store, history and learned state."""
