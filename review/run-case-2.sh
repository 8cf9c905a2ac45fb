#!/bin/sh
# run-case-2.sh CASE RECORD: runs a case of the second review, which writes the file RECORD. With TROUBLE=0 the disruption is left out.
# review/build-2.sh has to run before. Exit status: 0 the rule held, 1 the rule was broken, 2 the case could not run.
cd "$(dirname "$0")/.." || exit 2
if [ ! -x target/damaskshelfd ] || [ ! -x target/review2-rig ]; then
	echo "run review/build-2.sh first" >&2
	exit 2
fi
trouble=true
[ "${TROUBLE:-1}" = 0 ] && trouble=false
target/review2-rig -case "$1" -daemon target/damaskshelfd -record "$2" -trouble=$trouble
status=$?
case $status in
0 | 1) exit $status ;;
*) exit 2 ;;
esac
