"""Stand-ins of the users' platform: its store, replicas of services, and a deployment of them.

They speak the platform's wire, so that the adapter is tried against it without the users' bench.
"""
