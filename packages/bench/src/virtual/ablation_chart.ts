/** Chart of an ablation experiment. */
import {BarChart} from 'echarts/charts';
import {GridComponent, TitleComponent} from 'echarts/components';
import {init, use} from 'echarts/core';
import {SVGRenderer} from 'echarts/renderers';
import type {AblationRow} from './ablation_experiment';

const WIDTH_PX = 1_000;
const ROW_HEIGHT_PX = 28;
const MARGIN_PX = 70;
const LABELS_WIDTH_PX = 210;
const PERCENT = 100;

use([BarChart, GridComponent, TitleComponent, SVGRenderer]);

/** Draws what each mechanism is worth: the growth of the 99th percentile and of the failed calls without it. Returns the text of an SVG file. */
export function drawAblation(rows: readonly AblationRow[]): string {
  const height = rows.length * ROW_HEIGHT_PX + 2 * MARGIN_PX;
  const chart = init(null, null, {
    renderer: 'svg',
    ssr: true,
    width: WIDTH_PX,
    height,
  });
  const names = rows.map(row => row.arm);
  const category = {type: 'category', data: names, inverse: true} as const;
  const grid = {top: MARGIN_PX, bottom: MARGIN_PX, width: '32%'};
  const bar = {type: 'bar', label: {show: true, position: 'right'}} as const;
  chart.setOption({
    animation: false,
    title: [
      {text: 'Growth of the 99th percentile, percent', left: LABELS_WIDTH_PX},
      {text: 'More failed calls, percentage points', left: '62%'},
    ],
    grid: [
      {...grid, left: LABELS_WIDTH_PX},
      {...grid, left: '62%'},
    ],
    xAxis: [{type: 'value'}, {type: 'value', gridIndex: 1}],
    yAxis: [category, {...category, gridIndex: 1, axisLabel: {show: false}}],
    series: [
      {...bar, data: rows.map(row => round((row.meanP99Ratio - 1) * PERCENT))},
      {
        ...bar,
        xAxisIndex: 1,
        yAxisIndex: 1,
        data: rows.map(row => round(row.meanFailedChange * PERCENT)),
      },
    ],
  });
  const svg = chart.renderToSVGString();
  chart.dispose();
  return svg;
}

function round(value: number): number {
  return Number(value.toFixed(2));
}
