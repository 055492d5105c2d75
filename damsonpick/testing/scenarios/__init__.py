"""Scripted bad days: the running pilot against stand-ins with troubles, judged by the rule checker."""
