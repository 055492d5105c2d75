"""Stand-ins of the platform for the cases of the review: discovery, relay with channel, proxies, endpoints, collectors.

They use the standard library only and listen on loopback addresses and free ports.
"""
