#!/usr/bin/env bash
# Runs both example deployments under load for some seconds and checks every
# response. Exits with 0 if no response was wrong and no call ran twice.
set -u
cd "$(dirname "$0")/.." || exit 1
. scripts/deploy.sh
trap stop_all EXIT
trap 'exit 1' INT TERM

failed=0

# smoke NAME PLATFORM_PORT CONTROL_PORT CALLERS_PORT
smoke() {
	local name=$1 platform=$2 control=$3 callers=$4 audit
	start_deployment "$@" || return 1
	# shellcheck disable=SC2046
	bin/hbload --targets "$(targets_of "$callers")" --keys "$(keys_of "$name")" --model "$(model_of "$name")" \
		$(plain_of "$name") --rate 40 --length 6s --seed 11 || return 1
	audit=$(curl -fsS "http://127.0.0.1:$platform/ledger") || return 1
	echo "$name: idempotency keys counted by the endpoints: $audit"
	case $audit in
	*'"doubled":0'*) return 0 ;;
	*) return 1 ;;
	esac
}

smoke ravenala 9000 8181 8081 || failed=1
smoke muscat 9200 8381 8281 || failed=1
if [ "$failed" -ne 0 ]; then
	echo "smoke: failed" >&2
	exit 1
fi
echo "smoke: passed; no response was wrong and no call ran twice"
