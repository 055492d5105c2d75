"""Code that only tests and scenario runs use: fakes, the soak, scenarios and the rule checker."""
