#!/bin/sh
# Builds the stand-ins and clients of all cases into review/target. Needs a JDK 17 only.
set -e
cd "$(dirname "$0")"
rm -rf target
mkdir -p target
javac -encoding UTF-8 -d target rig/*.java
