#!/bin/sh
# Builds the stand-ins of cases 6 to 10. They are Python and use the packages
# that the deploy file builds into target/deps; this compiles them, which
# shows that they can be read.
cd "$(dirname "$0")/.." || exit 1
for path in review/6 review/7 review/8 review/9 review/10 tests/platform/platform_standin.py; do
    if [ -e "$path" ]; then
        PYTHONPYCACHEPREFIX=target/review-cache python3 -m compileall -q "$path" || exit 1
    fi
done
PYTHONPATH=target/deps python3 -c "import cheroot"
