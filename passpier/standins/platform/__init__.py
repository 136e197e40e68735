"""Stand-ins for the users' platform: its store, service replicas, and a deployment of them.

They implement the platform's wire protocol, so that the adapter can be tested without the platform.
"""
