#!/bin/sh
# Runs the case; with TROUBLE=0 it leaves the disruption out.
cd "$(dirname "$0")"
exec node case.mjs
