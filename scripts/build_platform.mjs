// Installs the locked dependencies if they are out of date, and bundles the program for the platform.
import {writeFileSync} from 'node:fs';
import process from 'node:process';
import {installIfStale} from './install.mjs';

installIfStale();

const {build} = await import('esbuild');
// Nodes use HTTP/1.1; loading HTTP/2 costs a megabyte of memory and start-up time.
const withoutHttp2 = {
  name: 'without-http2',
  setup(builder) {
    builder.onResolve({filter: /client-h2/}, () => ({
      path: 'client-h2',
      namespace: 'empty',
    }));
    builder.onLoad({filter: /.*/, namespace: 'empty'}, () => ({
      contents: 'module.exports = undefined;',
    }));
  },
};

const {metafile} = await build({
  entryPoints: ['platform/src/main.ts'],
  outfile: 'target/goldcresthill-platform.cjs',
  bundle: true,
  platform: 'node',
  target: 'node20',
  format: 'cjs',
  minify: true,
  plugins: [withoutHttp2],
  alias: {
    undici: './scripts/undici_clients.cjs',
    'hdr-histogram-js': './scripts/js_histograms.cjs',
  },
  metafile: true,
  logLevel: 'error',
  define: {'process.env.NODE_ENV': '"production"'},
});
if (process.env.BUNDLE_REPORT) {
  writeFileSync('target/bundle.json', JSON.stringify(metafile));
}
