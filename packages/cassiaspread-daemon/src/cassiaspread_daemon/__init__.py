"""The routing daemon ``cassiaspreadd`` and the gateway of the users' platform.

Nothing is imported here: a gateway needs a small part of the packages.
"""
