"""What gateways know together, spread directly among them, and retries that they lend each other.

May import decisions, models, timers and utils; what sends and receives datagrams is passed in.
"""
