import java.nio.file.Path;

/** The frame of a case: its folder, whether the disruption is on, its exit codes, and a time limit. */
final class Verdict {
    static final boolean TROUBLE = !"0".equals(System.getenv("TROUBLE"));
    private static final int HELD = 0;
    private static final int BROKEN = 1;
    private static final int NOT_RUN = 2;
    private static final int TIME_LIMIT_MS = 112_000;

    private Verdict() { }

    /** What a case does; true where the rule was broken. */
    interface Case {
        boolean isBroken(EdgeLab lab, Path root, Path folder) throws Exception;
    }

    /** Runs a case, ends all that it started, and exits. The arguments are the project's root and the case's folder. */
    static void run(String[] args, Case body) throws Exception {
        Path root = Path.of(args[0]).toAbsolutePath().normalize();
        EdgeLab lab = new EdgeLab(Path.of(args[1]).resolve("record.txt"));
        Path folder = java.nio.file.Files.createTempDirectory("review");
        Runtime.getRuntime().addShutdownHook(new Thread(lab::close));
        Thread watchdog = new Thread(() -> {
            try {
                Thread.sleep(TIME_LIMIT_MS);
            } catch (InterruptedException over) {
                return;
            }
            end(lab, folder, NOT_RUN, "could not run: out of time");
        });
        watchdog.setDaemon(true);
        watchdog.start();
        lab.record(TROUBLE ? "with the disruption" : "TROUBLE=0: without the disruption");
        try {
            boolean broken = body.isBroken(lab, root, folder);
            end(lab, folder, broken ? BROKEN : HELD, broken ? "the rule was broken" : "the rule held");
        } catch (Exception e) {
            end(lab, folder, NOT_RUN, "could not run: " + e);
        }
    }

    private static synchronized void end(EdgeLab lab, Path folder, int code, String result) {
        lab.record("result " + code + ": " + result);
        lab.close();
        try {
            EdgeLab.delete(folder);
        } catch (java.io.IOException e) {
            System.err.println("not deleted: " + e);
        }
        System.out.println(result);
        Runtime.getRuntime().halt(code);
    }
}
