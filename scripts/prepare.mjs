// Installs the locked dependencies if they are out of date, and bundles the program.
import {installIfStale} from './install.mjs';

installIfStale();

const {build} = await import('esbuild');
await build({
  entryPoints: ['packages/cli/src/main.ts'],
  outfile: 'dist/goldcresthill.cjs',
  bundle: true,
  platform: 'node',
  target: 'node20',
  format: 'cjs',
  logLevel: 'error',
  define: {'process.env.NODE_ENV': '"production"'},
});
