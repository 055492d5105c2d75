"""What the control service keeps: endpoint list, load reports, published tables, store, history, learned state."""
