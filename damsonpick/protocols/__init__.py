"""One package per protocol. No protocol imports another. `shared` holds the code that several protocols use."""
