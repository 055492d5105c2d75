"""Coverage-guided fuzzing of what reads bytes from outside; the corpora are replayed by the tests."""
