package barleyfall.lab.result;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Function;
import java.util.function.ToDoubleFunction;
import org.knowm.xchart.CategoryChart;
import org.knowm.xchart.CategoryChartBuilder;
import org.knowm.xchart.VectorGraphicsEncoder;
import org.knowm.xchart.XYChart;
import org.knowm.xchart.XYChartBuilder;
import org.knowm.xchart.XYSeries;
import org.knowm.xchart.internal.chartpart.Chart;
import org.knowm.xchart.style.markers.SeriesMarkers;

/** Writes the HTML page of a run: one self-contained file with SVG charts in which faults are shaded. */
public final class Report {
    private static final String FILE_NAME = "report.html";
    private static final int CHART_WIDTH_PX = 900;
    private static final int CHART_HEIGHT_PX = 260;
    private static final String STYLE = "body{font:14px sans-serif;max-width:960px;margin:2em auto}"
        + "table{border-collapse:collapse}td,th{border:1px solid #ccc;padding:2px 8px;text-align:right}"
        + ".bad{color:#b00020;font-weight:bold}.gap{color:#996600}pre{overflow:auto}";

    private Report() { }

    /** Writes the page into the folder of the run and returns its path. */
    public static Path write(Result result, Path folder) throws IOException {
        StringBuilder page = new StringBuilder("<!doctype html><html><head><meta charset=\"utf-8\"><title>")
            .append(escape(result.title())).append("</title><style>").append(STYLE)
            .append("</style></head><body><h1>")
            .append(escape(result.title())).append("</h1><p>seed ").append(result.seed()).append(", plan ")
            .append(result.planHash()).append(", edge nodes ").append(escape(result.build())).append("</p>");
        if (!result.sound()) {
            page.append("<p class=\"bad\">Unsound, does not count: ")
                .append(escape(String.join("; ", result.unsoundReasons()))).append("</p>");
        }
        page.append("<pre>");
        ResultFormatter.lines(result).forEach(line -> page.append(escape(line)).append('\n'));
        page.append("</pre>");
        appendTimeChart(page, result, "Service by second (share of the worth asked for)", Map.of(
            "service", w -> w.service() == null ? Double.NaN : w.service(),
            "served in time", w -> w.served() == null ? Double.NaN : w.served()));
        appendTimeChart(page, result, "Latency from the intended send time (ms)",
            Map.of("p50", Result.Window::p50, "p99", Result.Window::p99));
        appendTimeChart(page, result, "Wishes, attempts and counter calls a second", Map.of(
            "wishes", w -> w.requestCount(), "attempts", w -> w.attempts(),
            "counter calls", w -> w.counterCalls()));
        appendTimeChart(page, result, "CPU of all edge nodes (ms a second)",
            Map.of("CPU", Result.Window::cpuMs));
        appendTimeChart(page, result, "Largest edge node (MB resident)",
            Map.of("memory", Result.Window::memoryMb));
        appendAttemptChart(page, result, "Attempts by flag server", Result.ServerRow::server);
        appendAttemptChart(page, result, "Attempts by zone", Result.ServerRow::zone);
        appendEdgeTable(page, result);
        page.append("</body></html>\n");
        Path file = folder.resolve(FILE_NAME);
        Files.writeString(file, page);
        return file.toAbsolutePath();
    }

    private static void appendTimeChart(StringBuilder page, Result result, String title,
        Map<String, ToDoubleFunction<Result.Window>> series) throws IOException {
        if (result.windows().isEmpty()) {
            return;
        }
        XYChart chart = new XYChartBuilder().width(CHART_WIDTH_PX).height(CHART_HEIGHT_PX).title(title)
            .xAxisTitle("s").build();
        chart.getStyler().setMarkerSize(0).setLegendVisible(true).setChartTitleVisible(true);
        chart.getStyler().setXAxisMin(0.0).setXAxisMax(result.lengthMs() / 1000);
        double[] timesSeconds = result.windows().stream().mapToDouble(w -> w.fromMs() / 1000 + 0.5).toArray();
        double top = 0;
        for (ToDoubleFunction<Result.Window> value : series.values()) {
            top = Math.max(top, result.windows().stream().mapToDouble(value).filter(d -> !Double.isNaN(d))
                .max().orElse(0));
        }
        chart.getStyler().setYAxisMin(0.0).setYAxisMax(Math.max(1e-9, top * 1.05));
        for (Result.FaultPeriod fault : result.faults()) {
            double from = fault.fromMs() / 1000;
            double to = Math.max(from + 0.05, fault.toMs() / 1000);
            XYSeries faultArea = chart.addSeries(fault.name(), new double[] {from, from, to, to},
                new double[] {0, top * 1.05, top * 1.05, 0});
            faultArea.setXYSeriesRenderStyle(XYSeries.XYSeriesRenderStyle.Area).setMarker(SeriesMarkers.NONE);
            faultArea.setFillColor(new java.awt.Color(200, 60, 60, 40));
            faultArea.setLineColor(new java.awt.Color(200, 60, 60, 90));
        }
        new TreeMap<>(series).forEach((name, value) -> chart.addSeries(name, timesSeconds,
            result.windows().stream().mapToDouble(value).toArray()).setMarker(SeriesMarkers.NONE));
        appendSvg(page, chart);
    }

    private static void appendAttemptChart(StringBuilder page, Result result, String title,
        Function<Result.ServerRow, String> groupBy) throws IOException {
        Map<String, int[]> sums = new TreeMap<>();
        for (Result.ServerRow server : result.servers()) {
            int[] sum = sums.computeIfAbsent(groupBy.apply(server), k -> new int[5]);
            int[] counts = {server.served(), server.error(), server.busy(), server.cancelled(),
                server.unanswered()};
            for (int i = 0; i < sum.length; i++) {
                sum[i] += counts[i];
            }
        }
        if (sums.isEmpty()) {
            return;
        }
        CategoryChart chart = new CategoryChartBuilder().width(CHART_WIDTH_PX).height(CHART_HEIGHT_PX)
            .title(title).build();
        chart.getStyler().setStacked(true).setXAxisLabelRotation(sums.size() > 8 ? 90 : 0);
        List<String> names = List.of("served", "error", "turned away", "left", "no answer");
        for (int i = 0; i < names.size(); i++) {
            int column = i;
            chart.addSeries(names.get(i), List.copyOf(sums.keySet()),
                sums.values().stream().map(sum -> (Number) sum[column]).toList());
        }
        appendSvg(page, chart);
    }

    private static void appendSvg(StringBuilder page, Chart<?, ?> chart) throws IOException {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        VectorGraphicsEncoder.saveVectorGraphic(chart, bytes, VectorGraphicsEncoder.VectorGraphicsFormat.SVG);
        String text = bytes.toString(StandardCharsets.UTF_8);
        page.append(text.substring(text.indexOf("<svg"))).append('\n');
    }

    private static void appendEdgeTable(StringBuilder page, Result result) {
        page.append("<h2>Edge nodes</h2><table><tr><th>node</th><th>zone</th><th>starts</th><th>asked</th>"
            + "<th>served</th><th>refused</th><th>failed</th><th>CPU ms</th>"
            + "<th>MB</th><th>descriptors</th></tr>");
        for (Result.EdgeRow edge : result.edges()) {
            page.append(String.format(Locale.ROOT,
                "<tr><td>n%d</td><td>%s</td><td>%d</td><td>%d</td><td>%d</td>"
                + "<td>%d</td><td>%d</td><td>%.0f</td><td>%.0f</td><td>%d</td></tr>", edge.edge(),
                escape(edge.zone()), edge.starts(), edge.received(), edge.served(), edge.refused(),
                edge.failed(), edge.cpuMs(), edge.memoryMb(), edge.descriptors()));
        }
        page.append("</table>");
    }

    private static String escape(String text) {
        return text.replace("&", "&amp;").replace("<", "&lt;").replace(">", "&gt;");
    }
}
