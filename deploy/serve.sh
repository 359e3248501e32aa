#!/bin/sh
# Starts one real edge node in place of this shell, with flags that follow the memory of its configuration.
# Of 192 MB: heap 64, direct 32, classes and code up to 64, stacks and the machine itself the rest. A smaller node
# gets the same parts of its memory; more than 192 MB are not used.
full_mb=192
least_mb=72
memory_mb=$(sed -n 's/.*"memory_mb" *: *\([0-9][0-9]*\).*/\1/p' "$EDGE_CONFIG" 2> /dev/null | head -n 1)
memory_mb=${memory_mb:-$full_mb}
[ "$memory_mb" -le "$full_mb" ] || memory_mb=$full_mb
[ "$memory_mb" -ge "$least_mb" ] || memory_mb=$least_mb
heap_mb=$((memory_mb / 3))
young_mb=$((memory_mb / 8))
direct_mb=$((memory_mb / 6))
temporary=${TMPDIR:-/tmp}
exec java -XX:+UseSerialGC -XX:TieredStopAtLevel=1 -XX:CICompilerCount=1 -Xshare:auto \
    -XX:SharedArchiveFile=target/willowyoke.jsa -Xms${heap_mb}m -Xmx${heap_mb}m -Xmn${young_mb}m \
    -XX:MaxDirectMemorySize=${direct_mb}m -XX:ReservedCodeCacheSize=24m -XX:MaxMetaspaceSize=40m -Xss512k \
    -XX:-UsePerfData -Dio.netty.allocator.type=pooled -Dio.netty.allocator.numDirectArenas=1 \
    -Dio.netty.allocator.numHeapArenas=1 -Dio.netty.allocator.maxOrder=6 \
    -Dio.netty.native.workdir="$temporary" -Djava.io.tmpdir="$temporary" -jar target/willowyoke.jar serve
