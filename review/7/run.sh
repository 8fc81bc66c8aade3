#!/bin/sh
folder=$(cd "$(dirname "$0")" && pwd)
exec sh "$folder/../standins-2/run-case.sh" "$folder" SlowRead
