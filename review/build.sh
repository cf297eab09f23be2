#!/bin/sh
# Checks the stand-ins of the scripts: they need Python's own library only, and are not compiled.
set -eu
cd "$(dirname "$0")"
PYTHONDONTWRITEBYTECODE=1 python3 -c "from lib import case, clients, deployment, platform, system, wire"
echo "stand-ins: ready"
