#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if it could not run.
# TROUBLE=0 does the same without the disruption.
cd "$(dirname "$0")" || exit 2
case "${TROUBLE:=1}" in
    0 | 1) ;;
    *)
        echo "TROUBLE must be 0 or 1, found $TROUBLE" >&2
        exit 2
        ;;
esac
export TROUBLE
python3 case.py
code=$?
[ "$code" -le 2 ] && exit "$code"
exit 2
