#!/bin/sh
# Exit 1: the rule was broken; 0: it held; 2: could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")" && exec python3 -B case.py
