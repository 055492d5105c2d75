"""The server list: what sources say, judged before the module hears of it."""
