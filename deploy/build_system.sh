#!/bin/sh
# Installs what the router fleet runs on into target/deps, from the repository's root. Does nothing where the sources of
# the last installation are the present ones: they are told apart by their contents, edits under packages/ included.
set -eu

requirements="requirements-system.txt"
linked=$(sed -n 's/^-r //p' "$requirements")
packages=$(sed -n 's/^\.\///p' "$requirements")

# Bytecode appears beside the sources when they run; it is no source.
sources=$(find "$requirements" $linked $packages -type f -not -path '*/__pycache__/*' -not -path '*/tests/*' | LC_ALL=C sort)
fingerprint=$({ printf '%s\n' "$sources"; cat $sources; } | sha256sum)

stamp="target/deps/.sources"
if [ -f "$stamp" ] && [ "$(cat "$stamp")" = "$fingerprint" ]; then
    exit 0
fi
rm -rf target/deps target/src
mkdir -p target/src
for source in $sources; do
    mkdir -p "target/src/$(dirname "$source")"
    cp "$source" "target/src/$source"
done
(cd target/src && python3 -m pip install -q --disable-pip-version-check --target ../deps -r "$requirements")
printf '%s\n' "$fingerprint" > "$stamp"
