#!/bin/sh
# Builds the stand-ins of the cases 6 to 10. They use the JDK only.
cd "$(dirname "$0")/.." || exit 2
rm -rf target/review-2
mkdir -p target/review-2
exec javac -Xlint:-options --release 17 -d target/review-2 review/rig2/*.java review/*/Case*.java
