#!/usr/bin/env bash
# Plays the deployments that must not get worse on the users' bench, one site at a time.
# usage: tools/regression.sh BENCH SITES_FOLDER score|hunt [JOBS]
set -euo pipefail
cd "$(dirname "$0")/.."
bench=$1
sites=$2
verb=$3
jobs=${4:-3}

# Site file and days to hunt: 40, or 8 where it has 60 hosts or more.
deployments=(
  "sites/aph-mesh 40"
  "sites/vvf-mesh 40"
  "large/aph-mesh-large 8"
  "grown/vvf-mesh-grown 8"
  "grown/aph-mesh-grown 8"
  "demands/kitaguni-heat-grown 8"
  "demands/tsagaan-mesh-grown 8"
)

for deployment in "${deployments[@]}"; do
  read -r site days <<<"$deployment"
  case $verb in
    score) "$bench" score "$sites/$site.toml" --jobs "$jobs" --why "regression" ;;
    hunt) "$bench" hunt "$sites/$site.toml" --days "$days" --jobs "$jobs" --why "regression" ;;
    *) echo "unknown verb: $verb" >&2 && exit 2 ;;
  esac
done
