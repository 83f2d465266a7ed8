#!/usr/bin/env bash
# Scores the deployments of the regression runs with the users' bench and hunts
# days on each. The bench writes the figures to journal/; those of a landing go
# into docs/platform.md, section 9.
#
#   FLEETBENCH=PATH SITES=DIR bash deploy/regression.sh "why"
#
# FLEETBENCH is the bench that the pages of the newest deployments name, SITES
# the folder with the deployments. JOBS is the number of cores to use.
set -euo pipefail
cd "$(dirname "$0")/.."
: "${FLEETBENCH:?path of the bench}" "${SITES:?folder of the deployments}"
why=${1:?why the regression is run}

# Site, and the days that are hunted on it: 8 from 60 VMs on, else 40.
while read -r site days; do
  "$FLEETBENCH" score "$SITES/$site.toml" --jobs "${JOBS:-3}" --why "$why"
  "$FLEETBENCH" hunt "$SITES/$site.toml" --days "$days" --jobs "${JOBS:-3}" --why "$why"
done <<'SITES_END'
large/kyklo-search-large 8
further-grown/oberau-gel-grown 8
further/oberau-gel 40
grown/kyklo-search-grown 8
grown/mnara-search-grown 8
SITES_END
