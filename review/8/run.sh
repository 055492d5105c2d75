#!/bin/sh
# Plays the case, about 55 s. TROUBLE=0 leaves the disruption out, SEED=N repeats the draws of a play.
# Exit 1: the rule was broken; 0: it held; 2: the case could not run.
cd "$(dirname "$0")/../.." || exit 2
test -x .venv/bin/python || exit 2
exec .venv/bin/python -m review.standins_two.play 8
