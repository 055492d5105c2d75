"""What a pilot may believe of the past: what is kept, how it is written, aged and trusted."""
