#!/bin/sh
# Builds the stand-ins and the cases with the compiler of the JDK; no library is needed.
set -e
cd "$(dirname "$0")"
rm -rf target
mkdir -p target
javac -Xlint:all -d target standin/*.java [1-3]/*.java
