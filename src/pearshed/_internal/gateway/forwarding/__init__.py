"""Sends requests to endpoints and relays their responses.

Modules here may import what is known of endpoints and decisions, never the process or its pages.
"""
