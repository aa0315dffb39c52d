#!/usr/bin/env bash
# Runs the example deployment of the given name, by default ravenala, until
# interrupted.
set -u
cd "$(dirname "$0")/.." || exit 1
. scripts/deploy.sh
trap stop_all EXIT
trap 'exit 0' INT TERM
name=${1:-ravenala}
case $name in
ravenala) ports=(9000 8181 8081) ;;
muscat) ports=(9200 8381 8281) ;;
*) echo "run.sh: there is no example named $name" >&2; exit 2 ;;
esac
start_deployment "$name" "${ports[@]}" || exit 1
key=$(keys_of "$name" | cut -d, -f1 | cut -d= -f2)
cat <<TEXT
$name is up. Try:

  curl -N http://127.0.0.1:${ports[2]}/v1/chat/completions -H 'Authorization: Bearer $key' \\
    -d '{"model":"$(model_of "$name")","stream":true,"max_tokens":20,"messages":[{"role":"user","content":"hello"}]}'

  HBCTL_KEY=example-operator-key bin/hbctl --node 127.0.0.1:${ports[1]} replicas

Logs are in $logs. Press Ctrl-C to stop.
TEXT
while :; do sleep 1; done
