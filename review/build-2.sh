#!/bin/sh
# Builds the stand-ins of review/6, 7, 9 and 10 into build-review-2/
# Case 7 shares those of case 6, case 10 has that of case 9.
set -eu
cd "$(dirname "$0")/.."
mkdir -p build-review-2
for source in review/6/reborn.c review/7/silent.c; do
	gcc -std=gnu11 -O1 -g -Wall -Wextra -pthread -I review/6 \
		-o "build-review-2/$(basename "$source" .c)" \
		"$source" review/6/desk.c review/6/stand.c
done
gcc -std=gnu11 -O1 -g -Wall -Wextra -D_GNU_SOURCE -pthread \
	-o build-review-2/world review/9/world.c
