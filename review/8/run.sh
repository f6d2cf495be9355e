#!/bin/bash
# Exit code: 1 the rule was broken, 0 it held, 2 the case couldn't run. TROUBLE=0: no disruption.
cd "$(dirname "$0")" || exit 2
timeout -k 4 114 python3 case.py
case $? in
    0) exit 0 ;;
    10) exit 1 ;;
    *) exit 2 ;;
esac
