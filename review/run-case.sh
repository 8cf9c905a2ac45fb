#!/bin/sh
# run-case.sh CASE RECORD: runs a case of the rig, which writes the file RECORD. With TROUBLE=0 the disruption is left out.
# Exit status: 0 the rule held, 1 the rule was broken, 2 the case could not run.
review=$(cd "$(dirname "$0")" && pwd)
target=$review/../target
if [ ! -x "$target/damaskshelfd" ] || [ ! -x "$target/review-rig" ]; then
	sh "$review/build.sh" >&2 || exit 2
fi
trouble=true
[ "${TROUBLE:-1}" = 0 ] && trouble=false
"$target/review-rig" -case "$1" -daemon "$target/damaskshelfd" -record "$2" -trouble=$trouble
status=$?
case $status in
0 | 1) exit $status ;;
*) exit 2 ;;
esac
