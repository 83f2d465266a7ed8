#!/usr/bin/env bash
# Switches off each mechanism of the request path alone and compares the result
# with the code as it is, on the same days with the same seeds.
#
#   PAIRED=PATH SITE=FILE DAYS=DAY,... bash deploy/ablation.sh [MECHANISM...]
#
# PAIRED is the users' tool for paired comparisons, SITE a deployment. SEEDS and
# JOBS are passed on. Without arguments all mechanisms are played, in the order
# of the list; --list prints them. Results follow on standard output, each after
# a line "== MECHANISM"; docs/account-oberau.md has those of the last full run.
set -euo pipefail
cd "$(dirname "$0")/.."

# Name, file, and the edit that switches the mechanism off. An edit that changes
# nothing is an error: the code has changed and the list must follow.
mechanisms() {
  cat <<'LIST'
hedges              forward/run.go       s/if r.job.Route.Idempotent && sub.sent </if false \&\& sub.sent </
straggler-rule      forward/run.go       s/if s == nil || s.total < minStragglerSample/if s == nil || s.total >= 0/
earliest-hedge      forward/policy.go    s/HedgeEarliestFraction: 0\.[0-9]*,/HedgeEarliestFraction: 0,/
latest-hedge        forward/policy.go    s/HedgeLatestFraction:   0\.[0-9]*,/HedgeLatestFraction:   1,/
retry-reserve       forward/policy.go    s/RetryReserve:          0\.5,/RetryReserve:          0,/
callers-wait        forward/wait.go      s/known := w.(\*callerWaits).observe(job.Wait, job.Arrived); known {/known := w.(*callerWaits).observe(job.Wait, job.Arrived); known \&\& elapsed < 0 {/
queue-estimates     entry/daemon.go      s/Queues: d.queues, //
cancel-rate         balance/picker.go    s/cancelPenaltyWeight = 16/cancelPenaltyWeight = 0/
penalty             balance/picker.go    s/penaltyWeight = 4$/penaltyWeight = 0/
near-preference     balance/picker.go    s/nearPreference = 2.5/nearPreference = 1/
stalled-replicas    balance/picker.go    s/if s.inFlight.Load() <= 0 {/if s.inFlight.Load() <= 1<<30 {/
relays              forward/first.go     s/minRelayGroup = 2/minRelayGroup = 1000/
relay-flush         forward/policy.go    s/relayFlushFraction = 0.7/relayFlushFraction = 1000/
serving-set         resolve/serving.go   s/minServing        = 6/minServing        = 1000/
zone-source         entry/fleet.go       s/return m, m.ID != id/return m, false/
warm-connections    entry/daemon.go      s/if !d.warmed\[b\] {/if false {/
down-list           forward/forward.go   s/downFor = time.Second/downFor = 0/
LIST
}

if [ "${1:-}" = --list ]; then
  mechanisms | awk '{print $1}'
  exit
fi
: "${PAIRED:?path of the tool for paired comparisons}" "${SITE:?file of the deployment}" "${DAYS:?days, separated by commas}"

scratch=$(mktemp -d)
trap 'rm -rf "$scratch"' EXIT
mechanisms | while read -r name file edit; do
  if [ $# -gt 0 ] && [[ " $* " != *" $name "* ]]; then
    continue
  fi
  rm -rf "$scratch/tree"
  git clone -q . "$scratch/tree"
  sed -i "$edit" "$scratch/tree/$file"
  if git -C "$scratch/tree" diff --quiet; then
    echo "$name: the edit of $file changes nothing" >&2
    exit 1
  fi
  git -C "$scratch/tree" commit -qam "without $name"
  echo "== $name"
  python3 "$PAIRED" HEAD "$SITE" "$DAYS" --seeds "${SEEDS:-11,12}" --vary --jobs "${JOBS:-3}" \
    --dir "$scratch/tree" --why "ablation: without $name" </dev/null
done
