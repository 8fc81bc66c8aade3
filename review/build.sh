#!/bin/sh
# Builds the stand-ins and the cases; needs the JDK alone.
set -e
cd "$(dirname "$0")"
rm -rf target/classes
mkdir -p target/classes
javac -Xlint:all -d target/classes standin/review/*.java
