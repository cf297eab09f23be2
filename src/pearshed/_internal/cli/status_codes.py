"""Exit statuses of the command line."""

SUCCESS = 0
ERROR = 1
USAGE = 2
BAD_SETTINGS = 3
BAD_RECORDS = 4
UNREACHABLE = 5
INTERRUPTED = 130
