# Sourced by breaks.sh and soak-breaks.sh: breaks a mechanism in a copy of the tree.

copy=$(mktemp -d)
trap 'rm -rf "$copy"' EXIT
missed=0

# broken_copy NAME FILE OLD NEW copies the tree and replaces OLD by NEW in FILE. If
# FILE does not contain OLD, it returns 1 and counts the break as missed.
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
