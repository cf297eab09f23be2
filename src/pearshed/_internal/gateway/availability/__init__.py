"""Which endpoints may get requests: evacuated data centres and allowed regions."""
