#!/usr/bin/env bash
# Installs what the build, the tests and the scripts need on Debian 12. The
# same line stands in .ci/run.
set -euo pipefail
packages=(g++ cmake ninja-build ccache clang-format clang-tidy python3
  librestinio-dev libasio-dev libcapnp-dev libboost1.81-dev
  libcurl4-openssl-dev libtclap-dev libfmt-dev catch2 libyaml-cpp-dev
  nlohmann-json3-dev libxxhash-dev libbenchmark-dev libhttp-parser-dev libsimdjson-dev
  libzstd-dev)
missing=()
for package in "${packages[@]}"; do
  dpkg-query -W -f='${Status}' "$package" 2>/dev/null |
    grep -q 'ok installed' || missing+=("$package")
done
if [ "${#missing[@]}" -gt 0 ]; then
  apt-get update -qq
  DEBIAN_FRONTEND=noninteractive apt-get install -y -qq "${missing[@]}"
fi
