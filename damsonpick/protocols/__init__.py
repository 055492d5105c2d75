"""One package per protocol; none imports another. `shared` holds what several of them use."""
