"""Scripted scenarios: a running pilot with fake gateways, fake servers and faults, checked by the rule checker."""
