"""Decisions under load: pure modules that need no network.

They import models, timers and each other only, so that gateways and sides of engines share them
and tests can play a load through them.
"""
