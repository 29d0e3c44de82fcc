#!/usr/bin/env bash
# Plays the case; TROUBLE=0 plays it without the disruption. See claim.txt.
cd "$(dirname "$0")/../.."
PYTHONPATH=target/deps exec python3 review/3/case.py
