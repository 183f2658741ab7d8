/** Renders measured points with their fitted line as SVG. */
import { init } from "echarts";
import { estimateAt, type Fit, type Point } from "./fit.js";

const width = 560;
const height = 360;

/** A series of points, its fitted line and the names of the axes. */
export interface Series {
    name: string;
    xName: string;
    yName: string;
    points: Point[];
    fit: Fit;
}

/** Renders one series as an SVG document. */
export function renderPlot(series: Series): string {
    const chart = init(undefined, undefined, { renderer: "svg", ssr: true, width, height });
    const xs = series.points.map(p => p.x);
    const lineEnds = [0, Math.max(...xs)];
    chart.setOption({
        animation: false,
        title: { text: series.name, left: "center", textStyle: { fontSize: 14 } },
        grid: { left: 70, right: 30, bottom: 50 },
        xAxis: { type: "value", name: series.xName, nameLocation: "middle", nameGap: 28 },
        yAxis: { type: "value", name: series.yName },
        series: [
            { type: "scatter", data: series.points.map(p => [p.x, p.y]) },
            { type: "line", showSymbol: false, data: lineEnds.map(x => [x, estimateAt(series.fit, x)]) },
        ],
    });
    const svg = chart.renderToSVGString();
    chart.dispose();
    return svg;
}
