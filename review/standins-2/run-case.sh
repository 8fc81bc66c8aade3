#!/bin/sh
# run-case.sh FOLDER CLASS [JVM OPTIONS]: runs one case; its record goes to FOLDER/record.txt. Exit status as the case's.
here=$(cd "$(dirname "$0")" && pwd)
folder=$1 class=$2
shift 2
tmp=$(mktemp -d) || exit 2
[ -f "$here/target/$class.class" ] || { echo "run review/build-2.sh first"; rmdir "$tmp"; exit 2; }
timeout -k 5 118 java -Xmx256m -Droot="$here/../.." -Dtmp="$tmp" -Drecord="$folder/record.txt" "$@" -cp "$here/target" "$class"
status=$?
rm -rf "$tmp"
case $status in 0 | 1) exit $status ;; *) exit 2 ;; esac
