package willowyoke.net;

/** Stops and resumes reading from the source of a long value while its client falls behind. */
interface FlowControl {
    /** Resumes reading when on is true, stops it when false. */
    void read(boolean on);
}
