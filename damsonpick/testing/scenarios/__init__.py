"""Scripted scenarios: the running pilot against fake gateways and servers with faults, judged by the rule checker."""
