#!/bin/bash
# Compiles the stand-ins of the cases 6 to 10; needs the JDK alone.
set -eu
cd "$(dirname "$0")/.."
mkdir -p review/target/standin-2
javac -d review/target/standin-2 review/standin-2/*.java
