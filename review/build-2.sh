#!/bin/sh
# Builds the stand-ins of review/6 into build-review-2/.
set -eu
cd "$(dirname "$0")/.."
mkdir -p build-review-2
for name in reborn; do
	gcc -std=gnu11 -O1 -g -Wall -Wextra -pthread \
		-o "build-review-2/$name" \
		"review/standin-2/$name.c" review/standin-2/stand.c
done
