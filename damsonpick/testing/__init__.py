"""What only tests and rehearsals use: fakes, scenarios, the rule checker."""
