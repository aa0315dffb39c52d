# Sourced: what the scripts share that break a mechanism in a copy of the tree.

copy=$(mktemp -d)
trap 'rm -rf "$copy"' EXIT
missed=0

# broken_copy NAME FILE OLD NEW makes the copy with OLD replaced by NEW; it fails,
# and counts as missed, where OLD is not there.
broken_copy() {
	local name=$1 file=$2 old=$3 new=$4
	rm -rf "$copy/tree"
	mkdir "$copy/tree"
	git ls-files -z | xargs -0 cp --parents -t "$copy/tree"
	if ! OLD=$old NEW=$new perl -0pi -e 'BEGIN { $found = 0 } $found += s/\Q$ENV{OLD}\E/$ENV{NEW}/; END { $? = !$found }' "$copy/tree/$file"; then
		echo "$name: the code to break is not in $file"
		missed=1
		return 1
	fi
}
